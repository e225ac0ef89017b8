package cacheproxy.lab.experiment;

import java.util.List;

/** Thrown for an invalid experiment file; one line per error, with the path of its field. */
public final class InvalidExperimentException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidExperimentException(List<String> mistakes) {
        super(String.join("\n", mistakes));
    }

    InvalidExperimentException(String mistake) {
        super(mistake);
    }
}
