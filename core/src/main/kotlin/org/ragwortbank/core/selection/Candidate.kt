package org.ragwortbank.core.selection

import org.ragwortbank.core.gateway.AdapterState
import org.ragwortbank.core.gateway.UpstreamRow

/**
 * An upstream that may serve a request now.
 *
 * @property state state of the request's adapter there
 * @property expectedMillis expected time to the first part of the answer, in milliseconds
 */
data class Candidate(
    val row: UpstreamRow,
    val state: AdapterState,
    val expectedMillis: Double,
)
