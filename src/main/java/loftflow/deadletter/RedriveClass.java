package loftflow.deadletter;

import loftflow.policy.api.RequestClass;

/**
 * A request class with its redrive window.
 *
 * @param redriveWindowMicros time after storage during which messages are redriven without an operator's
 *     confirmation
 */
public record RedriveClass(RequestClass requestClass, long redriveWindowMicros) {}
