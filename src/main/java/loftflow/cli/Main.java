package loftflow.cli;

import java.io.IOException;
import java.nio.file.Path;
import loftflow.config.Config;
import loftflow.config.PlatformConfigReader;
import loftflow.config.tool.RelayFile;
import loftflow.json.MalformedInputException;
import loftflow.log.Log;
import loftflow.server.RelayMain;
import loftflow.simulator.SimulatorHost;

/**
 * Where the program starts. What serves is started here, at once: the command line's library, and the parser of files
 * where there is none to read, are not loaded. Everything else goes to {@link Commands}.
 */
public final class Main {
    private static final int MISUSE = 2;

    private Main() {}

    /** Runs a command. */
    public static void main(String[] args) throws IOException {
        if (args.length == 1 && args[0].equals("serve")) {
            serve(PlatformConfigReader.source(System.getenv(), null));
        } else if (args.length == 3 && args[0].equals("serve") && args[1].equals("--config")) {
            serve(RelayFile.source(Path.of(args[2])));
        } else if (args.length == 3 && args[0].equals("serve") && args[1].equals("--memory")) {
            serve(PlatformConfigReader.source(System.getenv(), Path.of(args[2])));
        } else if (args.length == 1 && args[0].equals("simhost")) {
            simhost();
        } else {
            System.exit(Commands.run(args));
        }
    }

    private static void serve(Config.Source source) {
        try {
            RelayMain.start(source);
        } catch (Config.BadConfigException e) {
            e.getMessage().lines().forEach(Log::line);
            System.exit(MISUSE);
        } catch (IOException e) {
            Log.line(e.getMessage());
            System.exit(1);
        }
    }

    private static void simhost() throws IOException {
        try {
            SimulatorHost.runOnStandardStreams();
        } catch (MalformedInputException e) {
            Log.line(e.getMessage());
            System.exit(1);
        }
    }
}
