package org.ragwortbank.cli.explain

import org.ragwortbank.core.result.ResultCode
import java.time.Duration

private const val NANOS_PER_MILLI = 1_000_000.0

/** Renders the timeline for operators: the lines of the request, the related lines and the outcome. */
fun RequestTimeline.render(): String {
    if (requestLines.isEmpty()) return "no line names request $id; ${unparsedText(unparsedCount)}\n"
    return buildString {
        append("request $id, from ${requestLines.first().time}, logged in ${sourceNames.joinToString()}\n")
        requestLines.forEach { append(formatLine(it)) }
        append("\nrelated lines of that time:\n")
        if (contextLines.isEmpty()) append("  none were logged\n") else contextLines.forEach { append(formatLine(it)) }
        append("\nend: ${outcome()}\n")
        if (sourceNames.size > 1) append("clocks may differ; lines of different processes may be out of order\n")
        if (unparsedCount > 0) append(unparsedText(unparsedCount)).append('\n')
    }
}

private fun RequestTimeline.formatLine(line: ParsedLogLine): String {
    val millis = Duration.between(requestLines.first().time, line.time).toNanos() / NANOS_PER_MILLI
    return "  %+9.0f ms  %-10s %s (%s)\n".format(millis, line.part, line.message, line.source)
}

/** The outcome in the last `answer` line: the meaning of its result code, or its message if it has no code. */
private fun RequestTimeline.outcome(): String {
    val lastAnswer = requestLines.lastOrNull { it.part == "answer" }
        ?: return "not logged: the request is still in progress, or log lines were dropped"
    val code = Regex("""\b(\d{4}) [A-Z_]+""").find(lastAnswer.message)?.groupValues?.get(1)?.toInt()
    val meaning = ResultCode.entries.firstOrNull { it.number == code }?.meaning
    return if (meaning == null) lastAnswer.message.substringAfter(id).trim(' ', ':') else "$code: $meaning"
}

private fun unparsedText(count: Int): String = "$count lines were truncated or not log lines"
