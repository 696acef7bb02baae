package org.ragwortbank.cli.explain

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import java.time.Duration
import java.time.Instant

/**
 * What the logs tell of one request.
 *
 * @property requestLines lines that name the request, in the order of their times
 * @property contextLines lines on the upstreams to which it was sent, from shortly before its first line to after its
 *   last
 * @property unparsedCount lines that are torn or no log lines
 */
data class RequestTimeline(
    val id: String,
    val requestLines: PersistentList<ParsedLogLine>,
    val contextLines: PersistentList<ParsedLogLine>,
    val unparsedCount: Int,
) {
    /** Processes whose lines name the request; their clocks may differ. */
    val sourceNames: List<String> get() = requestLines.map { it.source }.distinct()

    companion object {
        private val contextMargin: Duration = Duration.ofSeconds(2)
        private val upstreamPattern =
            Regex("""(?:attempt \d+ to|lost at|rejected by|answered by|for \S+ at) ([\w-]+)""")
        private val contextParts = setOf("members", "platform", "config", "drain")

        /** The story of request [id] in [lines], of which [unparsedCount] more could not be read. */
        fun of(id: String, lines: List<ParsedLogLine>, unparsedCount: Int): RequestTimeline {
            val requestLines = lines.filter { isAboutRequest(it, id) }.sortedBy { it.time }
            val upstreams = requestLines.flatMap { upstreamNames(it) }.toSet()
            val contextLines =
                if (requestLines.isEmpty()) emptyList() else lines.filter { isContext(it, upstreams, requestLines) }
            return RequestTimeline(
                id = id,
                requestLines = requestLines.toPersistentList(),
                contextLines = contextLines.sortedBy { it.time }.toPersistentList(),
                unparsedCount = unparsedCount,
            )
        }

        private fun upstreamNames(line: ParsedLogLine): Sequence<String> =
            upstreamPattern.findAll(line.message).map { it.groupValues[1] }

        private fun isAboutRequest(line: ParsedLogLine, id: String): Boolean =
            line.message.startsWith("request $id ") || line.message.startsWith("request $id:")

        /** Beliefs of that time: of all processes on its upstreams, of its own processes on all else. */
        private fun isContext(line: ParsedLogLine, upstreams: Set<String>, requestLines: List<ParsedLogLine>): Boolean {
            val isNearRequest = isNear(line.time, requestLines.first().time, requestLines.last().time)
            val isSameProcess = requestLines.any { it.source == line.source }
            val namesUpstream = upstreams.any { it in line.message }
            val isRelevant = namesUpstream || (isSameProcess && line.part != "members")
            return line.part in contextParts && isNearRequest && isRelevant
        }

        private fun isNear(time: Instant, first: Instant, last: Instant): Boolean =
            time >= first.minus(contextMargin) && time <= last.plus(contextMargin)
    }
}
