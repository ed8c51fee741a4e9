package loftflow.config.plan;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import loftflow.config.file.Finding;
import loftflow.config.plan.Declaration.Idempotency;
import loftflow.config.plan.Declaration.MessageClass;
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
                warn(broker.table(), "name", "no endpoint and no queue is at broker " + broker.name());
            } else {
                checkHeartbeat(broker.table(), broker.heartbeatMicros());
            }
            checkReadable(broker.table(), "password-file", broker.passwordFile());
            checkReadable(broker.table(), "trust-file", broker.trustFile());
            if (!broker.tls() && (broker.trustFile() != null || broker.tlsName() != null)) {
                error(
                        broker.table(),
                        broker.trustFile() != null ? "trust-file" : "tls-name",
                        "is for TLS, and tls = false;" + " set that to true or leave this out");
            }
        }
    }

    private void checkListeners() {
        for (Declaration.Listener front : declared.listeners()) {
            if (front.isAmqp()) {
                checkHeartbeat(front.table(), front.heartbeatMicros());
                checkReadable(front.table(), "password-file", front.passwordFile());
                if ((front.user() == null) != (front.passwordFile() == null)) {
                    error(
                            front.table(),
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
                if (endpoint.table().has(key)) {
                    error(
                            endpoint.table(),
                            key,
                            "is for AMQP, and endpoint " + endpoint.id() + " has no broker; name the"
                                    + " [[broker]] or leave it out");
                }
            }
            return;
        }
        usedBrokers.add(endpoint.broker());
        if (!brokerNames.contains(endpoint.broker())) {
            error(endpoint.table(), "broker", "no [[broker]] is named " + endpoint.broker());
        }
        if (endpoint.exchange().isEmpty() && endpoint.routingKey().isEmpty()) {
            error(
                    endpoint.table(),
                    "routing-key",
                    "neither exchange nor routing key: no message could be routed; give the"
                            + " queue's name as the routing key");
        }
    }

    private void checkQueue(Declaration.Queue queue) {
        usedBrokers.add(queue.broker());
        if (!brokerNames.contains(queue.broker())) {
            error(queue.table(), "broker", "no [[broker]] is named " + queue.broker());
        }
        if (queue.prefetch() > derived.maxOpenMessages()) {
            error(
                    queue.table(),
                    "prefetch",
                    queue.prefetch() + " is above buffer.messages = " + derived.maxOpenMessages()
                            + ": the relay would refuse what it asked for; lower it");
        }
        for (MessageClass messageClass : declared.classes()) {
            if (queue.autoAcknowledge() && messageClass.idempotency() != Idempotency.IDEMPOTENT) {
                error(
                        queue.table(),
                        "acknowledge",
                        "auto, and messages of class " + messageClass.name() + " are not repeatable: one"
                                + " that the broker has forgotten could be lost; set it to manual");
                break;
            }
        }
        if (queue.completionReplies().equals("always") && queue.replyQueue() == null) {
            error(queue.table(), "ends", "always, and there is no reply-queue for messages that ask for none; add it");
        }
        if (!queue.completionReplies().equals("always") && queue.replyQueue() != null) {
            error(
                    queue.table(),
                    "reply-queue",
                    "is used with ends = \"always\" alone, and that is " + queue.completionReplies() + "; change one");
        }
    }

    /** A heartbeat interval beyond a deadline detects a dead connection only after its messages have expired. */
    private void checkHeartbeat(TableReader table, long heartbeatMicros) {
        declared.shortestDeadlineClass().ifPresent(messageClass -> {
            if (heartbeatMicros > messageClass.deadlineMicros()) {
                error(
                        table,
                        "heartbeat",
                        duration(heartbeatMicros) + " is longer than the deadline of class "
                                + messageClass.name() + ", "
                                + duration(messageClass.deadlineMicros())
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
        Declaration.MessageMapping catchAll = null;
        for (Declaration.MessageMapping mapping : declared.amqp().mappings()) {
            if (catchAll != null) {
                error(
                        mapping.table(),
                        "content-type",
                        "is never reached: the mapping in line "
                                + catchAll.table().place().line()
                                + " is for every content type; put that one last");
            } else if (mapping.contentType() == null) {
                catchAll = mapping;
            } else if (!seen.add(mapping.contentType())) {
                error(
                        mapping.table(),
                        "content-type",
                        "\"" + mapping.contentType() + "\" stands in a mapping above, which is" + " used");
            }
        }
        if (!declared.amqp().mappings().isEmpty() && !declared.takesAmqp()) {
            warn(declared.amqp().mappings().get(0).table(), "class", "nothing comes in over AMQP that could be mapped");
        }
    }
}
