package org.ragwortbank.cli

import org.ragwortbank.cli.command.Ragwortbank
import picocli.CommandLine
import kotlin.system.exitProcess

/** Runs the command line and ends the process with its exit code. */
@Suppress("SpreadOperator")
fun main(args: Array<String>): Unit = exitProcess(CommandLine(Ragwortbank()).execute(*args))
