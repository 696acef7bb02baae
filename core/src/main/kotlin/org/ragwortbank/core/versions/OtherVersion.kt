package org.ragwortbank.core.versions

import org.ragwortbank.core.eligibility.Exclusion
import org.ragwortbank.core.eligibility.ExclusionReason
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.selection.SelectionContext

/** Excludes upstreams of software versions at which the stream of a request may not begin or go on. */
class OtherVersion : Exclusion {
    override fun reasonFor(context: SelectionContext, upstream: UpstreamRow): ExclusionReason? =
        context.binding.reasonFor(upstream.registration.version)
}
