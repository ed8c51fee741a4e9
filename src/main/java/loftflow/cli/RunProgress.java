package loftflow.cli;

import com.googlecode.lanterna.terminal.DefaultTerminalFactory;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.Locale;
import java.util.function.Consumer;
import loftflow.experiment.evaluation.ProgressSnapshot;

/** Shows the progress of a run: on a screen where there is a terminal, and otherwise by a line every ten seconds. */
final class RunProgress implements Consumer<ProgressSnapshot>, AutoCloseable {
    private static final int LINE_INTERVAL_SECONDS = 10;

    private final PrintWriter out;
    private ExperimentScreen screen;
    private int snapshots;

    RunProgress(PrintWriter out, String title) throws IOException {
        this.out = out;
        if (System.console() != null) {
            screen = new ExperimentScreen(
                    new DefaultTerminalFactory().setForceTextTerminal(true).createTerminal(), title);
        }
    }

    @Override
    public void accept(ProgressSnapshot s) {
        try {
            if (screen != null && screen.isLeft()) {
                close();
            }
            if (screen != null) {
                screen.show(s);
            } else if (snapshots++ % LINE_INTERVAL_SECONDS == LINE_INTERVAL_SECONDS - 1) {
                out.println(String.format(
                        Locale.ROOT,
                        "%4.0f s: service so far %.4f, asked %d, delivered %d, refused %d, failed" + " %d, open %d",
                        s.atMicros() / 1e6,
                        s.score(),
                        s.submitted(),
                        s.delivered(),
                        s.rejected(),
                        s.failed(),
                        s.open()));
                out.flush();
            }
        } catch (IOException e) {
            // The run goes on without a terminal.
            screen = null;
        }
    }

    @Override
    public void close() throws IOException {
        if (screen != null) {
            screen.close();
            screen = null;
        }
    }
}
