package loftflow.experiment.loopback;

import java.io.IOException;

/** A relay process has exited although the run did not terminate it. */
public final class RelayExitedException extends IOException {
    private static final long serialVersionUID = 1;

    RelayExitedException(String message) {
        super(message);
    }
}
