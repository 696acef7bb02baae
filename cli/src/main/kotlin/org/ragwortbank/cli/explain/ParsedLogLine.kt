package org.ragwortbank.cli.explain

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.time.Instant
import java.time.format.DateTimeParseException

/**
 * A line of the log of a process.
 *
 * @property source name of the file that contains the line
 * @property part component that logged the line
 */
data class ParsedLogLine(
    val source: String,
    val time: Instant,
    val part: String,
    val message: String,
) {
    companion object {
        /** Parses [text], a line of [source]; returns null if it is truncated or not a log line. */
        fun parse(source: String, text: String): ParsedLogLine? {
            val fields = parseObject(text)
            val time = fields?.stringField("time")?.let(::parseInstant)
            val part = fields?.stringField("part")
            val message = fields?.stringField("message")
            val isComplete = time != null && part != null && message != null
            return if (isComplete) ParsedLogLine(source, time, part, message) else null
        }

        /** Parses the JSON object in [text]; a log collector may have added a prefix of its own. */
        private fun parseObject(text: String): JsonObject? =
            try {
                Json.parseToJsonElement(text.substring(text.indexOf('{').coerceAtLeast(0))) as? JsonObject
            } catch (_: SerializationException) {
                null
            }

        private fun parseInstant(text: String): Instant? =
            try {
                Instant.parse(text)
            } catch (_: DateTimeParseException) {
                null
            }

        private fun JsonObject.stringField(name: String): String? = (this[name] as? JsonPrimitive)?.content
    }
}
