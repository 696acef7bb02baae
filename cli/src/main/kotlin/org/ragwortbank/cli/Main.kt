package org.ragwortbank.cli

import org.ragwortbank.cli.command.GatewayCommand
import org.ragwortbank.cli.command.PlacerCommand
import org.ragwortbank.cli.command.Ragwortbank
import picocli.CommandLine
import kotlin.system.exitProcess

/** Runs the command line and ends the process with its exit code. */
fun main(args: Array<String>): Unit = exitProcess(execute(args.toList()))

/** Processes that are started often on small instances are parsed without the tree of all commands. */
private fun execute(args: List<String>): Int =
    when (args.firstOrNull()) {
        "gateway" -> execute(CommandLine(GatewayCommand()), args.drop(1))
        "placer" -> execute(CommandLine(PlacerCommand()), args.drop(1))
        else -> execute(CommandLine(Ragwortbank()), args)
    }

@Suppress("SpreadOperator")
private fun execute(command: CommandLine, args: List<String>): Int = command.execute(*args.toTypedArray())
