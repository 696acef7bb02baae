package org.ragwortbank.node.log

import kotlinx.serialization.json.JsonPrimitive
import org.apache.logging.log4j.core.LogEvent
import org.apache.logging.log4j.core.layout.AbstractStringLayout
import java.time.Instant
import java.time.format.DateTimeFormatter
import java.time.format.DateTimeFormatterBuilder

/** Writes each event as one JSON object on a line of its own. */
internal class JsonLineLayout : AbstractStringLayout(Charsets.UTF_8) {
    override fun toSerializable(event: LogEvent): String =
        buildString {
            append("""{"time":"""").append(timeOf(event)).append('"')
            append(""","level":"""").append(event.level.name()).append('"')
            append(""","part":""").append(quoted(event.loggerName))
            append(""","message":""").append(quoted(event.message.formattedMessage))
            event.thrown?.let { append(""","exception":""").append(quoted(it.stackTraceToString())) }
            append("}\n")
        }

    override fun requiresLocation(): Boolean = false

    private fun timeOf(event: LogEvent): String = TIME.format(Instant.ofEpochMilli(event.timeMillis))

    private fun quoted(text: String): String = JsonPrimitive(text).toString()

    private companion object {
        const val MILLISECOND_DIGITS = 3
        val TIME: DateTimeFormatter = DateTimeFormatterBuilder().appendInstant(MILLISECOND_DIGITS).toFormatter()
    }
}
