package loftflow.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.Reader;
import java.io.StringWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import loftflow.json.JsonFields;
import loftflow.json.MalformedInputException;
import loftflow.policy.DefaultDeliveryPolicy;
import loftflow.policy.api.DeliveryPolicy;
import loftflow.policy.api.PolicyEvent;
import loftflow.policy.api.PolicySettings;
import loftflow.settings.PlatformSettingsReader;

/**
 * Hosts one delivery policy for each simulated relay: answers each batch of events by one reply with the policies'
 * actions. Instances share nothing. One thread.
 */
public final class SimulatorHost {
    private final JsonFactory factory = new JsonFactory();
    private final SimulatorEventReader events = new SimulatorEventReader();
    private final Function<PolicySettings, DeliveryPolicy> policyFactory;
    private final Map<Long, DeliveryPolicy> instances = new HashMap<>();
    private final Map<Long, List<PolicyEvent>> pending = new LinkedHashMap<>();

    /** A host that creates each instance's policy by {@code policyFactory}. */
    SimulatorHost(Function<PolicySettings, DeliveryPolicy> policyFactory) {
        this.policyFactory = policyFactory;
    }

    /** Runs the default policy on standard input and output until the input ends. */
    public static void runOnStandardStreams() throws IOException {
        new SimulatorHost(DefaultDeliveryPolicy::new)
                .run(
                        new InputStreamReader(System.in, StandardCharsets.UTF_8),
                        new OutputStreamWriter(System.out, StandardCharsets.UTF_8));
    }

    /** Answers each line of {@code in} by one line on {@code out}. */
    void run(Reader in, Writer out) throws IOException {
        BufferedReader lines = new BufferedReader(in);
        BufferedWriter replies = new BufferedWriter(out);
        long number = 0;
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            number++;
            try {
                replies.write(answer(line));
            } catch (JsonProcessingException e) {
                throw new MalformedInputException("line " + number + ": not JSON: " + e.getOriginalMessage());
            } catch (MalformedInputException e) {
                throw new MalformedInputException("line " + number + ": " + e.getMessage());
            }
            replies.write('\n');
            replies.flush();
        }
    }

    private String answer(String line) throws IOException {
        JsonFields batch;
        try (JsonParser parser = factory.createParser(line)) {
            parser.nextToken();
            batch = JsonFields.ofObject("batch", JsonFields.read(parser));
            if (parser.nextToken() != null) {
                throw new MalformedInputException("batch: more than one value");
            }
        }
        long now = batch.secondsAsMicros(SimulatorProtocol.CLOCK_SECONDS);
        long number = batch.wholeNumber(SimulatorProtocol.BATCH_NUMBER);
        pending.clear();
        for (Object json : batch.listOrEmpty(SimulatorProtocol.GROUPS)) {
            JsonFields group = JsonFields.ofObject("group", json);
            long instance = group.wholeNumber(SimulatorProtocol.INSTANCE);
            for (Object message : group.listOrEmpty(SimulatorProtocol.EVENTS)) {
                accept(instance, JsonFields.ofMessage(message));
            }
        }
        return reply(number, now);
    }

    private void accept(long instance, JsonFields message) {
        String name = message.text(0);
        switch (name) {
            case SimulatorProtocol.ENDPOINT_DIRECTORY -> events.directory(message);
            case SimulatorProtocol.INSTANCE_STARTED -> {
                instances.put(instance, launch(message));
                pending.put(instance, new ArrayList<>());
            }
            case SimulatorProtocol.INSTANCE_STOPPED -> {
                instances.remove(instance);
                pending.remove(instance);
            }
            default -> {
                PolicyEvent event = events.event(name, message);
                if (instances.containsKey(instance)) {
                    pending.computeIfAbsent(instance, i -> new ArrayList<>()).add(event);
                }
            }
        }
    }

    private DeliveryPolicy launch(JsonFields message) {
        try {
            return policyFactory.apply(PlatformSettingsReader.read(message.wholeNumber(1), message.object(2)));
        } catch (IllegalArgumentException e) {
            throw new MalformedInputException("launch: " + e.getMessage());
        }
    }

    private String reply(long number, long now) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = factory.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField(SimulatorProtocol.BATCH_NUMBER, number);
            json.writeArrayFieldStart(SimulatorProtocol.GROUPS);
            for (Map.Entry<Long, List<PolicyEvent>> entry : pending.entrySet()) {
                json.writeStartObject();
                json.writeNumberField(SimulatorProtocol.INSTANCE, entry.getKey());
                json.writeArrayFieldStart(SimulatorProtocol.COMMANDS);
                runRound(instances.get(entry.getKey()), now, entry.getValue(), new SimulatorCommandWriter(json));
                json.writeEndArray();
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        return text.toString();
    }

    private static void runRound(
            DeliveryPolicy policy, long now, List<PolicyEvent> roundEvents, SimulatorCommandWriter commands) {
        try {
            policy.onRound(now, roundEvents, commands);
        } catch (RuntimeException e) {
            commands.internalError(String.valueOf(e));
        }
    }
}
