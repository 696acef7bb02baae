package org.ragwortbank.core.eligibility

import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.selection.SelectionContext

/**
 * Why an upstream is not used for a request.
 *
 * @property label wording in log lines
 * @property isLasting whether a wait can't change it, so that the upstream doesn't count for the request at all
 */
enum class ExclusionReason(
    val label: String,
    val isLasting: Boolean,
) {
    /** It leaves, has stopped, or has registered that it takes nothing. */
    NOT_ACCEPTING("takes no new requests", isLasting = true),

    /** The request may not be sent there, again or at all. */
    ALREADY_TRIED("may not get this request", isLasting = true),

    /** Its failure domain is emptied. */
    EVACUATED("is in an emptied failure domain", isLasting = true),

    /** It is in none of the home regions of the request. */
    OUTSIDE_HOME("is outside the request's home regions", isLasting = true),

    /** It runs another software version than the stream of the request, or states none where others do. */
    OTHER_VERSION("runs another software version", isLasting = true),

    /** Whether the stream of the request may begin or go on at its software version isn't known yet. */
    VERSION_UNDECIDED("may not get streams at its software version yet", isLasting = false),

    /** It has asked for a time without requests. */
    QUIET("wants no requests now", isLasting = false),

    /** It failed lately. */
    BACKED_OFF("failed lately", isLasting = false),

    /** The request's base model isn't loaded there. */
    MODEL_MISSING("has not loaded the base model", isLasting = false),

    /** It has been given as much as it may have for now. */
    AT_LIMIT("is at its limit", isLasting = false),
}

/** A rule by which an upstream is excluded from a request. */
fun interface Exclusion {
    /** Why [upstream] can't serve the request; null if this rule doesn't exclude it. */
    fun reasonFor(context: SelectionContext, upstream: UpstreamRow): ExclusionReason?
}
