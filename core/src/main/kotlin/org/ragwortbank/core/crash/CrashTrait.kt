package org.ragwortbank.core.crash

import org.ragwortbank.core.serving.PromptPartId
import org.ragwortbank.core.serving.RequestFingerprint

/** Something that requests have in common, of which each upstream may crash that begins to run one of them. */
sealed interface CrashTrait {
    /** All repeats of one request. */
    data class Repeat(val fingerprint: RequestFingerprint) : CrashTrait {
        override fun toString(): String = "$REPEAT$SEPARATOR$fingerprint"
    }

    /** All requests with one part in their prompts. */
    data class PromptPart(val id: PromptPartId) : CrashTrait {
        override fun toString(): String = "$PART$SEPARATOR$id"
    }

    companion object {
        private const val SEPARATOR = ":"
        private const val REPEAT = "request"
        private const val PART = "part"
        private const val HEXADECIMAL = 16

        /** Parses what `toString` of a trait returns; null when [text] has another form. */
        fun parse(text: String): CrashTrait? {
            val value = text.substringAfter(SEPARATOR, "")
            return when {
                value.isEmpty() -> null
                text.startsWith(REPEAT + SEPARATOR) -> parseRepeat(value)
                text.startsWith(PART + SEPARATOR) -> PromptPart(PromptPartId(value))
                else -> null
            }
        }

        private fun parseRepeat(value: String): CrashTrait? =
            value.toULongOrNull(HEXADECIMAL)?.let { Repeat(RequestFingerprint(it.toLong())) }
    }
}
