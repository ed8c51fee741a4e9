package loftflow.config.plan;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loftflow.config.file.Finding;
import loftflow.config.plan.Declaration.MessageClass;
import loftflow.config.plan.Declaration.Repeat;
import loftflow.config.schema.TableReader;

/** Checks brokers, queues, listeners and mappings of AMQP. */
final class AmqpChecks extends ConsistencyCheck {
    private static final List<String> LISTENER_SETTINGS =
            List.of("name", "exchange", "user", "password-file", "heartbeat", "channels", "frame", "reply-hold");

    private final Set<String> brokerNames = new HashSet<>();
    private final Set<String> usedBrokers = new HashSet<>();
    private final MachineInspector machineInspector;

    AmqpChecks(
            Declaration declared, DerivedSettings derived, MachineInspector machineInspector, List<Finding> findings) {
        super(declared, derived, findings);
        this.machineInspector = machineInspector;
    }

    @Override
    void run() {
        declared.amqp().brokers().forEach(broker -> brokerNames.add(broker.name()));
        declared.endpoints().forEach(this::checkEndpoint);
        declared.amqp().queues().forEach(this::checkQueue);
        checkBrokers();
        checkListeners();
        checkMappings();
    }

    private void checkBrokers() {
        for (Declaration.Broker broker : declared.amqp().brokers()) {
            if (!usedBrokers.contains(broker.name())) {
                warn(broker.at(), "name", "no endpoint and no queue is at broker " + broker.name());
            } else {
                checkHeartbeat(broker.at(), broker.heartbeat());
            }
            checkReadable(broker.at(), "password-file", broker.passwordFile());
            checkReadable(broker.at(), "trust-file", broker.trustFile());
            if (!broker.tls() && (broker.trustFile() != null || broker.tlsName() != null)) {
                error(
                        broker.at(),
                        broker.trustFile() != null ? "trust-file" : "tls-name",
                        "is for TLS, and tls = false;" + " set that to true or leave this out");
            }
        }
    }

    private void checkListeners() {
        for (Declaration.Front front : declared.fronts()) {
            if (front.amqp()) {
                checkHeartbeat(front.at(), front.heartbeat());
                checkReadable(front.at(), "password-file", front.passwordFile());
                if ((front.user() == null) != (front.passwordFile() == null)) {
                    error(
                            front.at(),
                            front.user() == null ? "password-file" : "user",
                            "user and password-file belong" + " together; add the other one or leave this one out");
                }
            } else {
                rejectForeignSettings(front, LISTENER_SETTINGS, "AMQP", "amqp");
            }
        }
    }

    private void checkEndpoint(Declaration.Endpoint endpoint) {
        if (endpoint.broker() == null) {
            for (String key : List.of("exchange", "routing-key")) {
                if (endpoint.at().has(key)) {
                    error(
                            endpoint.at(),
                            key,
                            "is for AMQP, and endpoint " + endpoint.id() + " has no broker; name the"
                                    + " [[broker]] or leave it out");
                }
            }
            return;
        }
        usedBrokers.add(endpoint.broker());
        if (!brokerNames.contains(endpoint.broker())) {
            error(endpoint.at(), "broker", "no [[broker]] is named " + endpoint.broker());
        }
        if (endpoint.exchange().isEmpty() && endpoint.routingKey().isEmpty()) {
            error(
                    endpoint.at(),
                    "routing-key",
                    "neither exchange nor routing key: no message could be routed; give the"
                            + " queue's name as the routing key");
        }
    }

    private void checkQueue(Declaration.Queue queue) {
        usedBrokers.add(queue.broker());
        if (!brokerNames.contains(queue.broker())) {
            error(queue.at(), "broker", "no [[broker]] is named " + queue.broker());
        }
        if (queue.prefetch() > derived.messages()) {
            error(
                    queue.at(),
                    "prefetch",
                    queue.prefetch() + " is above buffer.messages = " + derived.messages()
                            + ": the relay would refuse what it asked for; lower it");
        }
        for (MessageClass messageClass : declared.classes()) {
            if (queue.autoAcknowledge() && messageClass.repeat() != Repeat.REPEATABLE) {
                error(
                        queue.at(),
                        "acknowledge",
                        "auto, and messages of class " + messageClass.name() + " are not repeatable: one"
                                + " that the broker has forgotten could be lost; set it to manual");
                break;
            }
        }
        if (queue.ends().equals("always") && queue.replyQueue() == null) {
            error(queue.at(), "ends", "always, and there is no reply-queue for messages that ask for none; add it");
        }
        if (!queue.ends().equals("always") && queue.replyQueue() != null) {
            error(
                    queue.at(),
                    "reply-queue",
                    "is used with ends = \"always\" alone, and that is " + queue.ends() + "; change one");
        }
    }

    /** A heartbeat interval beyond a deadline detects a dead connection only after its messages have expired. */
    private void checkHeartbeat(TableReader table, long heartbeatMicros) {
        declared.classes().stream()
                .min(Comparator.comparingLong(MessageClass::deadline))
                .ifPresent(messageClass -> {
                    if (heartbeatMicros > messageClass.deadline()) {
                        error(
                                table,
                                "heartbeat",
                                duration(heartbeatMicros) + " is longer than the deadline of class "
                                        + messageClass.name() + ", "
                                        + duration(messageClass.deadline())
                                        + ": a dead connection would be found when its messages are over; lower it");
                    }
                });
    }

    private void checkReadable(TableReader table, String key, String file) {
        if (file != null) {
            machineInspector.unreadable(file).ifPresent(fault -> error(table, key, fault));
        }
    }

    private void checkMappings() {
        Set<String> seen = new HashSet<>();
        Declaration.Mapping catchAll = null;
        for (Declaration.Mapping mapping : declared.amqp().mappings()) {
            if (catchAll != null) {
                error(
                        mapping.at(),
                        "content-type",
                        "is never reached: the mapping in line "
                                + catchAll.at().place().line()
                                + " is for every content messageClass; put that one last");
            } else if (mapping.contentType() == null) {
                catchAll = mapping;
            } else if (!seen.add(mapping.contentType())) {
                error(
                        mapping.at(),
                        "content-type",
                        "\"" + mapping.contentType() + "\" stands in a mapping above, which is" + " used");
            }
        }
        if (!declared.amqp().mappings().isEmpty() && !declared.takesAmqp()) {
            warn(declared.amqp().mappings().get(0).at(), "class", "nothing comes in over AMQP that could be mapped");
        }
    }
}
