package org.ragwortbank.cli.explain

import org.ragwortbank.core.result.ResultCode
import java.time.Duration

private const val NANOS_PER_MILLI = 1_000_000.0

/** The story as text for a person: what happened, what was believed meanwhile, how it ended. */
fun RequestStory.text(): String {
    if (own.isEmpty()) return "no line names request $id; ${unreadable(unreadable)}\n"
    return buildString {
        append("request $id, from ${own.first().time}, told by ${sources.joinToString()}\n")
        own.forEach { append(timed(it)) }
        append("\nbeliefs of that time:\n")
        if (around.isEmpty()) append("  none were logged\n") else around.forEach { append(timed(it)) }
        append("\nend: ${end()}\n")
        if (sources.size > 1) append("clocks may differ; the order of lines of different processes can be wrong\n")
        if (unreadable > 0) append(unreadable(unreadable)).append('\n')
    }
}

private fun RequestStory.timed(line: LoggedLine): String {
    val millis = Duration.between(own.first().time, line.time).toNanos() / NANOS_PER_MILLI
    return "  %+9.0f ms  %-10s %s (%s)\n".format(millis, line.part, line.message, line.source)
}

/** The last line that ends the request says how; a result code is explained by its meaning. */
private fun RequestStory.end(): String {
    val last = own.lastOrNull { it.part == "answer" } ?: return "none is logged: under way still, or lines were dropped"
    val code = Regex("""\b(\d{4}) [A-Z_]+""").find(last.message)?.groupValues?.get(1)?.toInt()
    val meaning = ResultCode.entries.firstOrNull { it.number == code }?.meaning
    return if (meaning == null) last.message.substringAfter(id).trim(' ', ':') else "$code: $meaning"
}

private fun unreadable(count: Int): String = "$count lines were torn or no log lines"
