package org.ragwortbank.core.message

import org.ragwortbank.core.model.RequestId

/** Identifies one attempt to run a request; reports carry it, so that those of an earlier attempt are recognised. */
data class RunId(
    val request: RequestId,
    val attempt: Int,
) {
    override fun toString(): String = "$request/$attempt"
}
