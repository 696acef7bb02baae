package org.ragwortbank.cli

import org.ragwortbank.cli.command.Ragwortbank
import picocli.CommandLine
import kotlin.system.exitProcess

/** Executes the command line and exits with the exit code of the command. */
@Suppress("SpreadOperator")
fun main(args: Array<String>): Unit = exitProcess(CommandLine(Ragwortbank()).execute(*args))
