package org.ragwortbank.node.log

import kotlinx.serialization.json.JsonPrimitive
import org.apache.logging.log4j.core.LogEvent
import org.apache.logging.log4j.core.layout.AbstractStringLayout
import java.time.Instant
import java.time.format.DateTimeFormatter
import java.time.format.DateTimeFormatterBuilder

/** Formats each log event as one line with a JSON object. */
internal class JsonLineLayout : AbstractStringLayout(Charsets.UTF_8) {
    override fun toSerializable(event: LogEvent): String =
        buildString {
            append("""{"time":"""").append(formattedTime(event)).append('"')
            append(""","level":"""").append(event.level.name()).append('"')
            append(""","part":""").append(jsonString(event.loggerName))
            append(""","message":""").append(jsonString(event.message.formattedMessage))
            event.thrown?.let { append(""","exception":""").append(jsonString(it.stackTraceToString())) }
            append("}\n")
        }

    override fun requiresLocation(): Boolean = false

    private fun formattedTime(event: LogEvent): String = TIME_FORMAT.format(Instant.ofEpochMilli(event.timeMillis))

    private fun jsonString(text: String): String = JsonPrimitive(text).toString()

    private companion object {
        const val FRACTION_DIGITS = 3
        val TIME_FORMAT: DateTimeFormatter = DateTimeFormatterBuilder().appendInstant(FRACTION_DIGITS).toFormatter()
    }
}
