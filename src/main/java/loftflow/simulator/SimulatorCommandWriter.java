package loftflow.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HexFormat;
import loftflow.policy.api.PolicyActions;

/** Writes a policy's actions as the commands of one simulated instance. */
record SimulatorCommandWriter(JsonGenerator json) implements PolicyActions {
    private static final double MICROS_PER_SECOND = 1e6;

    @Override
    public void send(long id, String route, long timeoutMicros, long leaveWithinMicros, boolean mayShareCall) {
        write(SimulatorProtocol.SEND, id, route, timeoutMicros / MICROS_PER_SECOND);
    }

    @Override
    public void cancel(long id, int attempt) {
        write(SimulatorProtocol.CANCEL, id, attempt);
    }

    @Override
    public void reject(long id, long retryAfterMicros) {
        write(SimulatorProtocol.REJECT, id, retryAfterMicros / MICROS_PER_SECOND);
    }

    @Override
    public void fail(long id) {
        write(SimulatorProtocol.FAIL, id);
    }

    @Override
    public void setTimer(long timer, long delayMicros) {
        write(SimulatorProtocol.SET_TIMER, timer, delayMicros / MICROS_PER_SECOND);
    }

    @Override
    public void probe(String route) {
        write(SimulatorProtocol.PROBE, route);
    }

    @Override
    public void closeIdleConnections(String route) {
        write(SimulatorProtocol.CLOSE_IDLE_CONNECTIONS, route);
    }

    @Override
    public void sendToPeer(int relay, byte[] payload) {
        String hex = HexFormat.of().formatHex(payload);
        if (relay < 0) {
            write(SimulatorProtocol.SEND_TO_PEER, SimulatorProtocol.EVERY_PEER, hex);
        } else {
            write(SimulatorProtocol.SEND_TO_PEER, relay, hex);
        }
    }

    @Override
    public void subscribe(boolean on) {
        write(SimulatorProtocol.SUBSCRIBE, on);
    }

    @Override
    public void fetchEndpointList() {
        write(SimulatorProtocol.FETCH_ENDPOINT_LIST);
    }

    @Override
    public void log(String text) {
        write(SimulatorProtocol.LOG, text);
    }

    void internalError(String text) {
        write(SimulatorProtocol.INTERNAL_ERROR, text);
    }

    private void write(Object... values) {
        try {
            json.writeStartArray();
            for (Object value : values) {
                json.writePOJO(value);
            }
            json.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
