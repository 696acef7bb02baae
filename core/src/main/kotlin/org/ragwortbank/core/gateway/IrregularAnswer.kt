package org.ragwortbank.core.gateway

/** How the present attempt of [row] has failed if the answer of [input] can't be its upstream's own; null if it can. */
internal fun GatewayTables.irregularAnswer(
    row: RequestRow,
    input: GatewayInput.AnswerHeadReceived,
): GatewayInput.AttemptFailed? {
    val habits = row.upstream?.let { upstreams[it] }?.answerHabits
    val facts = input.facts
    if (habits == null || !facts.isSuccess || !habits.isIrregular(facts.traits, facts.needlessTraits)) return null
    val lacked = habits.expected - facts.traits - facts.needlessTraits
    val detail = "a success without ${lacked.joinToString()}, which others from there have"
    val cause = AttemptFailure.IrregularAnswer(detail)
    return GatewayInput.AttemptFailed(input.number, input.attempt, cause, input.trace)
}
