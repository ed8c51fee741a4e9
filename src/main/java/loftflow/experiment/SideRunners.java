package loftflow.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import loftflow.experiment.emulator.RelayComponents;
import loftflow.experiment.loopback.LoopbackRun;
import loftflow.fake.ServedRelay;

/** The ways to run a side of a comparison. */
public final class SideRunners {
    /** A loopback run whose messages were sent too late is repeated up to this many runs in all. */
    private static final int MAX_LATE_RUNS = 3;

    private SideRunners() {}

    /** Runs in the emulator, with the decision module of each side's build. */
    public static SideRunner emulator() {
        Map<Path, RelayComponents> componentsByBuild = new HashMap<>();
        return (side, seed) -> {
            RelayComponents components = side.build() == null
                    ? ExperimentRunner.OWN_COMPONENTS
                    : componentsOf(side.build(), componentsByBuild);
            return ExperimentRunner.run(side.scenario(), seed, components).figures();
        };
    }

    private static RelayComponents componentsOf(Path build, Map<Path, RelayComponents> cache) throws IOException {
        RelayComponents components = cache.get(build);
        if (components == null) {
            components = RelayComponents.of(PolicyLoader.at(build));
            cache.put(build, components);
        }
        return components;
    }

    /**
     * Runs by relay processes on loopback, with the classes of each side's build. The CPU time per message is an
     * additional figure.
     *
     * @param core the CPU core of a fleet's relays; negative for any
     * @param folder for the relays' files, which are deleted after each run
     */
    public static SideRunner loopback(int core, Path folder) {
        return (side, seed) -> {
            ServedRelay.Program program = new ServedRelay.Program(side.build(), core);
            for (int run = 1; run <= MAX_LATE_RUNS; run++) {
                LoopbackResult result = ExperimentRunner.runInTemporaryFolder(
                        side.scenario(), seed, new LoopbackRun.RelayProgram(program, false), folder);
                if (result.outcome().isValid()) {
                    Map<String, Double> figures = result.result().figures();
                    figures.put("cpu-us", result.outcome().cpuMicrosPerMessage());
                    return figures;
                }
            }
            throw new IOException("this machine can't keep up with "
                    + side.scenario().name() + ": " + MAX_LATE_RUNS + " runs sent too late to be compared");
        };
    }
}
