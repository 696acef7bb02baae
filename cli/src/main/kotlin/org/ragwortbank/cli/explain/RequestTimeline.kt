package org.ragwortbank.cli.explain

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import java.time.Duration
import java.time.Instant

/**
 * The log lines that concern one request, sorted by time.
 *
 * @property requestLines lines that name the request
 * @property contextLines lines on the request's upstreams and on the state of its processes, logged between 2 s before
 *   its first line and 2 s after its last
 * @property unparsedCount number of lines that are truncated or not log lines
 */
data class RequestTimeline(
    val id: String,
    val requestLines: PersistentList<ParsedLogLine>,
    val contextLines: PersistentList<ParsedLogLine>,
    val unparsedCount: Int,
) {
    /** Log files whose lines name the request; the clocks of their processes may differ. */
    val sourceNames: List<String> get() = requestLines.map { it.source }.distinct()

    companion object {
        private val contextMargin: Duration = Duration.ofSeconds(2)
        private val upstreamPattern =
            Regex("""(?:attempt \d+ to|lost at|rejected by|answered by|for \S+ at) ([\w-]+)""")
        private val contextParts = setOf("members", "platform", "config", "drain")

        /** The timeline of request [id] in [lines]; another [unparsedCount] lines could not be parsed. */
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

        /**
         * Whether [line] shows what a process knew during the request: lines of any process that name one of its
         * [upstreams], and other lines, except on members, only of the processes that logged [requestLines].
         */
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
