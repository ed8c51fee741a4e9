package loftflow.config.tool;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import loftflow.config.plan.MachineInspector;

/** The machine that this runs on. */
record LocalMachineInspector(Optional<String> temporary) implements MachineInspector {

    static LocalMachineInspector of(Map<String, String> environment) {
        return new LocalMachineInspector(
                Optional.ofNullable(environment.get("TMPDIR")).filter(dir -> !dir.isEmpty()));
    }

    @Override
    public Optional<String> unreadable(String file) {
        return Files.isReadable(Path.of(file)) && Files.isRegularFile(Path.of(file))
                ? Optional.empty()
                : Optional.of(file + " is no file that this user can read");
    }

    /** A folder that is not there yet is made at the start, so nothing speaks against it here. */
    @Override
    public Optional<String> fault(String folder) {
        Path path = Path.of(folder);
        if (Files.exists(path) && !Files.isDirectory(path)) {
            return Optional.of(folder + " is no folder on this machine");
        }
        if (Files.exists(path) && !Files.isWritable(path)) {
            return Optional.of(folder + " can't be written by this user; give it to them or name another");
        }
        for (Path above = path.getParent(); above != null; above = above.getParent()) {
            if (Files.exists(above)) {
                return Files.isDirectory(above)
                        ? Optional.empty()
                        : Optional.of(folder + " can't be made: " + above + " is no folder on this machine");
            }
        }
        return Optional.empty();
    }
}
