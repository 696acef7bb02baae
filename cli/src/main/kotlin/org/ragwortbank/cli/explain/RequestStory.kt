package org.ragwortbank.cli.explain

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import java.time.Duration
import java.time.Instant

/**
 * What the logs tell of one request.
 *
 * @property own lines that name the request, in the order of their times
 * @property around lines on the upstreams to which it was sent, from shortly before its first line to after its last
 * @property unreadable lines that are torn or no log lines
 */
data class RequestStory(
    val id: String,
    val own: PersistentList<LoggedLine>,
    val around: PersistentList<LoggedLine>,
    val unreadable: Int,
) {
    /** Processes whose lines name the request; their clocks may differ. */
    val sources: List<String> get() = own.map { it.source }.distinct()

    companion object {
        private val margin: Duration = Duration.ofSeconds(2)
        private val upstreamName = Regex("""(?:attempt \d+ to|lost at|rejected by|answered by|for \S+ at) ([\w-]+)""")
        private val beliefs = setOf("members", "platform", "config", "drain")

        /** The story of request [id] in [lines], of which [unreadable] more could not be read. */
        fun of(id: String, lines: List<LoggedLine>, unreadable: Int): RequestStory {
            val own = lines.filter { namesRequest(it, id) }.sortedBy { it.time }
            val upstreams = own.flatMap { line -> upstreamName.findAll(line.message).map { it.groupValues[1] } }.toSet()
            val around = if (own.isEmpty()) emptyList() else lines.filter { concerns(it, upstreams, own) }
            return RequestStory(id, own.toPersistentList(), around.sortedBy { it.time }.toPersistentList(), unreadable)
        }

        private fun namesRequest(line: LoggedLine, id: String): Boolean =
            line.message.startsWith("request $id ") || line.message.startsWith("request $id:")

        /** Beliefs of that time: of all processes on the request's upstreams, of its own processes on all else. */
        private fun concerns(line: LoggedLine, upstreams: Set<String>, own: List<LoggedLine>): Boolean {
            val near = within(line.time, own.first().time, own.last().time)
            val sameProcess = own.any { it.source == line.source }
            val ofUpstream = upstreams.any { it in line.message }
            return line.part in beliefs && near && (ofUpstream || (sameProcess && line.part != "members"))
        }

        private fun within(time: Instant, first: Instant, last: Instant): Boolean =
            time >= first.minus(margin) && time <= last.plus(margin)
    }
}
