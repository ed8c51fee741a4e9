package loftflow.policy;

import loftflow.policy.api.AttemptOutcome;

final class Attempt {
    final Call call;
    AttemptOutcome result;

    Attempt(Call call) {
        this.call = call;
    }
}
