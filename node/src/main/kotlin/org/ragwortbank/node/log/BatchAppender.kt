package org.ragwortbank.node.log

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.Layout
import org.apache.logging.log4j.core.LogEvent
import org.apache.logging.log4j.core.appender.AbstractAppender
import org.apache.logging.log4j.core.config.Property
import org.apache.logging.log4j.core.impl.Log4jLogEvent
import org.apache.logging.log4j.message.SimpleMessage
import java.io.OutputStream
import java.util.concurrent.TimeUnit

/** Formats log events with [format] on the calling thread and lets a [LineWriter] write them in batches. */
internal class BatchAppender(
    private val format: Layout<String>,
    output: OutputStream,
) : AbstractAppender("batch", null, format, true, Property.EMPTY_ARRAY) {
    private val writer = LineWriter(output) { count -> format.toSerializable(droppedEvent(count)) }

    override fun append(event: LogEvent) = writer.add(format.toSerializable(event))

    override fun stop(timeout: Long, timeUnit: TimeUnit): Boolean {
        writer.stop()
        return super.stop(timeout, timeUnit)
    }

    private fun droppedEvent(count: Int): LogEvent =
        Log4jLogEvent.newBuilder()
            .setLoggerName("log")
            .setLevel(Level.WARN)
            .setMessage(SimpleMessage("$count log lines dropped because the output was too slow"))
            .setTimeMillis(System.currentTimeMillis())
            .build()
}
