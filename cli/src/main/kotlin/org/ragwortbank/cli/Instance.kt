package org.ragwortbank.cli

import org.ragwortbank.cli.command.ExitCode
import org.ragwortbank.cli.command.fail
import org.ragwortbank.cli.command.runGateway
import org.ragwortbank.cli.command.runPlacer
import java.nio.file.Path
import kotlin.system.exitProcess

/** Runs the processes that small instances start often, without the command-line library, which is slow to load. */
object Instance {
    /** Runs the role that the first argument names with the settings file that the second names. */
    @JvmStatic
    fun main(args: Array<String>): Unit = exitProcess(run(args.toList()))

    private fun run(args: List<String>): Int =
        when (args.firstOrNull()?.takeIf { args.size == 2 }) {
            "gateway" -> runGateway(Path.of(args[1]))
            "placer" -> runPlacer(Path.of(args[1]))
            else -> fail(ExitCode.USAGE, "expected gateway FILE or placer FILE, found $args")
        }
}
