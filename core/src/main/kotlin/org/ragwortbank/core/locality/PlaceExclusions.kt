package org.ragwortbank.core.locality

import org.ragwortbank.core.eligibility.Exclusion
import org.ragwortbank.core.eligibility.ExclusionReason
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.selection.SelectionContext

/** Excludes upstreams of failure domains that the operators have emptied. */
class EvacuatedDomain : Exclusion {
    override fun reasonFor(context: SelectionContext, upstream: UpstreamRow): ExclusionReason? =
        ExclusionReason.EVACUATED.takeIf { upstream.registration.domain in context.tables.evacuations }
}

/** Excludes upstreams outside the home regions of the request's route and client account. */
class OutsideHome : Exclusion {
    override fun reasonFor(context: SelectionContext, upstream: UpstreamRow): ExclusionReason? {
        if (context.homes.isAnywhere) return null
        val region = context.tables.settings.regions[upstream.registration.domain]
        return ExclusionReason.OUTSIDE_HOME.takeIf { !context.homes.include(region) }
    }
}
