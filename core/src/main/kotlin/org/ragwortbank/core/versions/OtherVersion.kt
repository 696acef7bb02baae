package org.ragwortbank.core.versions

import org.ragwortbank.core.eligibility.Exclusion
import org.ragwortbank.core.eligibility.ExclusionReason
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.selection.SelectionContext

/**
 * Excludes upstreams of software versions at which the stream of a request may not begin or go on, and those that may
 * have started again at another version than this gateway has read.
 */
class OtherVersion : Exclusion {
    override fun reasonFor(context: SelectionContext, upstream: UpstreamRow): ExclusionReason? {
        val binding = context.binding
        val reason = binding.reasonFor(upstream.registration.version)
        val isUnknown = binding != StreamBinding.Free && context.tables.isRestartUnread(upstream, context.now)
        return reason ?: ExclusionReason.VERSION_UNDECIDED.takeIf { isUnknown }
    }
}
