package org.ragwortbank.cli.explain

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.time.Instant
import java.time.format.DateTimeParseException

/**
 * A line of a process's log.
 *
 * @property source file that it stands in
 */
data class LoggedLine(
    val source: String,
    val time: Instant,
    val part: String,
    val message: String,
) {
    companion object {
        /** The line that [text] of [source] is; null when it is torn or no log line. */
        fun parse(source: String, text: String): LoggedLine? {
            val fields = fields(text)
            val time = fields?.text("time")?.let(::instant)
            val part = fields?.text("part")
            val message = fields?.text("message")
            val whole = time != null && part != null && message != null
            return if (whole) LoggedLine(source, time, part, message) else null
        }

        /** A collector may put its own words before the object. */
        private fun fields(text: String): JsonObject? =
            try {
                Json.parseToJsonElement(text.substring(text.indexOf('{').coerceAtLeast(0))) as? JsonObject
            } catch (_: SerializationException) {
                null
            }

        private fun instant(text: String): Instant? =
            try {
                Instant.parse(text)
            } catch (_: DateTimeParseException) {
                null
            }

        private fun JsonObject.text(name: String): String? = (this[name] as? JsonPrimitive)?.content
    }
}
