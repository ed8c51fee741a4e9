package loftflow.deadletter;

import loftflow.policy.api.RequestClass;

/**
 * A request class with its redrive window.
 *
 * @param redriveWindowMicros time for which its messages are redriven without an operator
 */
public record RedriveClass(RequestClass requestClass, long redriveWindowMicros) {}
