package loftflow.experiment.evaluation;

/** A running total of the value of submitted messages and of the part of it that was delivered. */
final class DeliveredValue {
    private double submitted;
    private double delivered;

    void add(double submittedValue, double deliveredValue) {
        submitted += submittedValue;
        delivered += deliveredValue;
    }

    void add(DeliveredValue other) {
        add(other.submitted, other.delivered);
    }

    double submitted() {
        return submitted;
    }

    /** The delivered share, from 0 to 1; 1 where nothing was submitted. */
    double share() {
        return submitted == 0 ? 1 : delivered / submitted;
    }
}
