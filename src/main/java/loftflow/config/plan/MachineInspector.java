package loftflow.config.plan;

import java.util.Optional;

/** What the checks ask of the machine that they run on; a port, so that they do no I/O themselves. */
public interface MachineInspector {
    /** Nothing is known of the machine. */
    MachineInspector UNKNOWN = new MachineInspector() {
        @Override
        public Optional<String> temporary() {
            return Optional.empty();
        }

        @Override
        public Optional<String> fault(String folder) {
            return Optional.empty();
        }

        @Override
        public Optional<String> unreadable(String file) {
            return Optional.empty();
        }
    };

    /** The folder for temporary files ({@code $TMPDIR}), where one is set. */
    Optional<String> temporary();

    /**
     * Why nothing could be kept in a folder, such as that it can't be written; empty where nothing speaks against it.
     */
    Optional<String> fault(String folder);

    /** Why a file can't be read; empty where it can. */
    Optional<String> unreadable(String file);
}
