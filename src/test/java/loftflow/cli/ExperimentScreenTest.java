package loftflow.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.googlecode.lanterna.TerminalSize;
import com.googlecode.lanterna.input.KeyStroke;
import com.googlecode.lanterna.terminal.virtual.DefaultVirtualTerminal;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import loftflow.experiment.evaluation.ProgressSnapshot;
import loftflow.experiment.scenario.FaultSchedule;
import org.junit.jupiter.api.Test;

/** The laboratory's screen on a terminal in memory. */
class ExperimentScreenTest {
    @Test
    void screenShowsHowARunStandsAtTwentyFourLinesAndIsLeftByAKey() throws IOException {
        DefaultVirtualTerminal terminal = new DefaultVirtualTerminal(new TerminalSize(80, 24));
        List<ProgressSnapshot.EndpointProgress> endpoints = new ArrayList<>(List.of(
                new ProgressSnapshot.EndpointProgress(
                        "e7", "railways", "annex", 0, 14, FaultSchedule.ServingState.DOWN),
                new ProgressSnapshot.EndpointProgress(
                        "e1", "elevators", "main", 35, 14, FaultSchedule.ServingState.SERVING)));
        for (int i = 0; i < 5_000; i++) {
            endpoints.add(new ProgressSnapshot.EndpointProgress(
                    "e" + (100 + i), "short-lines", "yard", 1, 10, FaultSchedule.ServingState.SERVING));
        }
        ExperimentScreen screen = new ExperimentScreen(terminal, "harvest");
        screen.show(new ProgressSnapshot(12_300_000, 0.8123, 500, 400, 60, 10, 30, 44, 40, endpoints));
        List<String> lines = new ArrayList<>();
        for (int row = 0; row < 24; row++) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < 80; column++) {
                line.append(terminal.getCharacter(column, row).getCharacterString());
            }
            lines.add(line.toString().stripTrailing());
        }
        assertTrue(lines.get(0).startsWith("harvest    12.3 s   q: leave"), lines.get(0));
        assertEquals("service so far 0.8123", lines.get(1));
        assertEquals("asked 500 (44/s)  delivered 400 (40/s)  refused 60  failed 10  open 30", lines.get(2));
        assertTrue(lines.get(5).startsWith("e7     railways       annex            0     14.0  down"), lines.get(5));
        assertTrue(lines.get(6).endsWith("14.0  " + "#".repeat(24)), lines.get(6));
        assertFalse(screen.isLeft());
        terminal.addInput(new KeyStroke('q', false, false));
        screen.show(new ProgressSnapshot(13_300_000, 1, 0, 0, 0, 0, 0, 0, 0, List.of()));
        assertTrue(screen.isLeft());
        screen.close();
    }
}
