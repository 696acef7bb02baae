package org.ragwortbank.cli

import org.ragwortbank.cli.command.ExitCode
import org.ragwortbank.cli.command.fail
import org.ragwortbank.cli.command.runGateway
import org.ragwortbank.cli.command.runPlacer
import java.nio.file.Path
import kotlin.system.exitProcess

/**
 * Starts a gateway or a placer without loading the command-line library, which would slow down the frequent starts on
 * small instances.
 */
object Instance {
    /** Expects two arguments: the role, `gateway` or `placer`, and the path of its settings file. */
    @JvmStatic
    fun main(args: Array<String>): Unit = exitProcess(run(args.toList()))

    private fun run(args: List<String>): Int =
        when (args.firstOrNull()?.takeIf { args.size == 2 }) {
            "gateway" -> runGateway(Path.of(args[1]))
            "placer" -> runPlacer(Path.of(args[1]))
            else -> fail(ExitCode.USAGE, "expected gateway FILE or placer FILE, found $args")
        }
}
