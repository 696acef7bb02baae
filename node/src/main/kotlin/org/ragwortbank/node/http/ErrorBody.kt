package org.ragwortbank.node.http

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.ragwortbank.core.result.Refusal

/** JSON body of an error response. */
@Serializable
internal data class ErrorBody(val error: ErrorDetail) {
    /** Encodes the body as JSON text. */
    fun toJson(): String = Json.encodeToString(serializer(), this)

    companion object {
        /** Creates the body that reports [refusal]. */
        fun of(refusal: Refusal): ErrorBody {
            val code = refusal.code
            return ErrorBody(ErrorDetail(code.number, code.name.lowercase(), refusal.detail, refusal.execution.label))
        }
    }
}

/**
 * Code, type and message of a refusal.
 *
 * @property execution whether the request was executed: `not run`, `ran` or `unknown`
 */
@Serializable
internal data class ErrorDetail(
    val code: Int,
    val type: String,
    val message: String,
    val execution: String,
)
