package org.ragwortbank.core.eligibility

import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.gateway.hasModelFor
import org.ragwortbank.core.selection.SelectionContext

/** Excludes upstreams that leave, have stopped, or have registered that they take nothing. */
class NotAccepting : Exclusion {
    override fun reasonFor(context: SelectionContext, upstream: UpstreamRow): ExclusionReason? =
        ExclusionReason.NOT_ACCEPTING.takeIf { !upstream.isAccepting }
}

/** Excludes upstreams that may have run the request, and those beyond the attempts that its route allows. */
class RepeatedAttempt : Exclusion {
    override fun reasonFor(context: SelectionContext, upstream: UpstreamRow): ExclusionReason? =
        ExclusionReason.ALREADY_TRIED.takeIf { !context.request.mayTry(upstream.registration.id) }
}

/** Excludes upstreams during the time for which they have asked to get nothing. */
class QuietTime : Exclusion {
    override fun reasonFor(context: SelectionContext, upstream: UpstreamRow): ExclusionReason? =
        ExclusionReason.QUIET.takeIf { upstream.isQuiet(context.now) }
}

/** Excludes upstreams for a while after a failure. */
class BackedOff : Exclusion {
    override fun reasonFor(context: SelectionContext, upstream: UpstreamRow): ExclusionReason? =
        ExclusionReason.BACKED_OFF.takeIf { upstream.health.isBackedOff(context.now) }
}

/** Excludes engines that have not loaded the request's base model. */
class ModelMissing : Exclusion {
    override fun reasonFor(context: SelectionContext, upstream: UpstreamRow): ExclusionReason? =
        ExclusionReason.MODEL_MISSING.takeIf { !upstream.hasModelFor(context.request) }
}
