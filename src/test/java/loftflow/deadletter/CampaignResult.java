package loftflow.deadletter;

/** Totals over one or more runs of {@link DeadLetterCampaign}. */
record CampaignResult(
        int runs,
        int messages,
        int duplicates,
        int lost,
        int inconsistent,
        int delivered,
        int undelivered,
        int rejected,
        int discarded,
        int redrives,
        int crashes,
        int confirmations) {
    CampaignResult plus(CampaignResult other) {
        return new CampaignResult(
                runs + other.runs,
                messages + other.messages,
                duplicates + other.duplicates,
                lost + other.lost,
                inconsistent + other.inconsistent,
                delivered + other.delivered,
                undelivered + other.undelivered,
                rejected + other.rejected,
                discarded + other.discarded,
                redrives + other.redrives,
                crashes + other.crashes,
                confirmations + other.confirmations);
    }
}
