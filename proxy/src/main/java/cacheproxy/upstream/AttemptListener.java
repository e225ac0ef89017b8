package cacheproxy.upstream;

import cacheproxy.memcache.MetaResponse;

/** Is notified on the event loop exactly once per attempt, when the attempt completes. */
public interface AttemptListener {
    /** {@code response}: null if none was received. */
    void attemptCompleted(Attempt attempt, AttemptCompletion completion, MetaResponse response);
}
