package org.ragwortbank.core.message

import org.ragwortbank.core.model.RequestId

/** One attempt to run a request; answers carry it, so that late answers of an earlier attempt are recognised. */
data class RunId(
    val request: RequestId,
    val attempt: Int,
) {
    override fun toString(): String = "$request/$attempt"
}
