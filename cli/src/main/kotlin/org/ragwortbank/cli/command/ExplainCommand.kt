package org.ragwortbank.cli.command

import org.ragwortbank.cli.explain.ParsedLog
import org.ragwortbank.cli.explain.RequestTimeline
import org.ragwortbank.cli.explain.render
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.Callable
import kotlin.io.path.bufferedReader
import kotlin.io.path.name

/** Prints the timeline of a request from the logs of several processes. */
@Command(
    name = "explain",
    description = ["Prints the timeline of a request from log files, or from standard input if no file is given."],
    mixinStandardHelpOptions = true,
)
class ExplainCommand : Callable<Int> {
    @Parameters(index = "0", paramLabel = "ID", description = ["The ID of the request."])
    private lateinit var id: String

    @Parameters(index = "1..*", paramLabel = "FILE", description = ["Log files of gateways and placers."])
    private var files: List<Path> = emptyList()

    override fun call(): Int =
        try {
            val log = readLog()
            val timeline = RequestTimeline.of(id, log.lines, log.unparsedCount)
            print(timeline.render())
            if (timeline.requestLines.isEmpty()) ExitCode.INVALID.number else ExitCode.OK.number
        } catch (e: IOException) {
            reportProblems(listOf("found ${e.message}, expected readable log files"))
        }

    private fun readLog(): ParsedLog =
        if (files.isEmpty()) {
            ParsedLog().withLinesOf("standard input", System.`in`.bufferedReader())
        } else {
            files.fold(ParsedLog()) { log, file -> log.withLinesOf(file.name, file.bufferedReader()) }
        }
}
