package loftflow.cli;

import com.googlecode.lanterna.TextColor;
import com.googlecode.lanterna.graphics.TextGraphics;
import com.googlecode.lanterna.input.KeyStroke;
import com.googlecode.lanterna.input.KeyType;
import com.googlecode.lanterna.screen.Screen;
import com.googlecode.lanterna.screen.TerminalScreen;
import com.googlecode.lanterna.terminal.Terminal;
import java.io.IOException;
import java.util.Locale;
import loftflow.experiment.evaluation.ProgressSnapshot;
import loftflow.experiment.scenario.FaultSchedule;

/** A run on a terminal's screen while it goes on: load, service, and each endpoint's load against what it can do. */
final class ExperimentScreen implements AutoCloseable {
    private static final int BAR = 24;
    private static final int HEAD = 5;
    /** A bar is full at so many times what an endpoint can do: there a cold one falls. */
    private static final double FULL = 2.5;

    private final Screen screen;
    private final String title;
    private boolean left;

    /** Takes a terminal over until it is closed. */
    ExperimentScreen(Terminal terminal, String title) throws IOException {
        screen = new TerminalScreen(terminal);
        this.title = title;
        screen.startScreen();
        screen.setCursorPosition(null);
    }

    /** True once whoever looks has asked to leave: the run goes on without a screen. */
    boolean isLeft() {
        return left;
    }

    /** Shows how a run stands. */
    void show(ProgressSnapshot s) throws IOException {
        for (KeyStroke key = screen.pollInput(); key != null; key = screen.pollInput()) {
            left |= key.getKeyType() == KeyType.EOF
                    || key.getKeyType() == KeyType.Character && key.getCharacter() == 'q';
        }
        screen.doResizeIfNecessary();
        screen.clear();
        TextGraphics text = screen.newTextGraphics();
        line(text, 0, TextColor.ANSI.DEFAULT, "%s   %5.1f s   q: leave the screen", title, s.atMicros() / 1e6);
        line(text, 1, s.score() < 0.9 ? TextColor.ANSI.RED : TextColor.ANSI.GREEN, "service so far %.4f", s.score());
        line(
                text,
                2,
                TextColor.ANSI.DEFAULT,
                "asked %d (%d/s)  delivered %d (%d/s)  refused %d  failed %d  open %d",
                s.submitted(),
                s.submittedPerSecond(),
                s.delivered(),
                s.deliveredPerSecond(),
                s.rejected(),
                s.failed(),
                s.open());
        line(
                text,
                HEAD - 1,
                TextColor.ANSI.DEFAULT,
                "%-6s %-14s %-10s %7s %8s  %s",
                "host",
                "partner",
                "building",
                "calls/s",
                "can do",
                "load, full at 2.5 times");
        int rows = screen.getTerminalSize().getRows() - HEAD;
        for (int i = 0; i < Math.min(rows, s.endpoints().size()); i++) {
            ProgressSnapshot.EndpointProgress e = s.endpoints().get(i);
            boolean well = e.servingState() == FaultSchedule.ServingState.SERVING;
            int bar = (int) Math.min(BAR, Math.round(e.load() / FULL * BAR));
            line(
                    text,
                    HEAD + i,
                    !well ? TextColor.ANSI.RED : e.load() > 1 ? TextColor.ANSI.YELLOW : TextColor.ANSI.DEFAULT,
                    "%-6s %-14.14s %-10.10s %7d %8.1f  %s",
                    e.name(),
                    e.partner(),
                    e.zone(),
                    e.callsPerSecond(),
                    e.capacityPerSecond(),
                    well ? "#".repeat(bar) : e.servingState().code());
        }
        screen.refresh();
    }

    private static void line(TextGraphics text, int row, TextColor colour, String form, Object... values) {
        text.setForegroundColor(colour);
        text.putString(0, row, String.format(Locale.ROOT, form, values));
    }

    @Override
    public void close() throws IOException {
        screen.stopScreen();
    }
}
