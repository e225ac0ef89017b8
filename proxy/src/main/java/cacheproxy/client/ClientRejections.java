package cacheproxy.client;

import cacheproxy.upstream.EndpointPool;
import cacheproxy.upstream.RejectionEvidence;

/** Which endpoints have served or rejected the requests of one client connection. Used on the event loop only. */
final class ClientRejections implements RejectionEvidence {
    private boolean served;
    private EndpointPool firstRejectingPool;
    /** Two endpoints have rejected its requests, which means that the client is at fault. */
    private boolean rejectedBySeveral;

    @Override
    public void requestServed() {
        served = true;
    }

    @Override
    public boolean requestRejectedBy(EndpointPool pool) {
        rejectedBySeveral |= firstRejectingPool != null && firstRejectingPool != pool;
        firstRejectingPool = pool;
        return served && !rejectedBySeveral;
    }
}
