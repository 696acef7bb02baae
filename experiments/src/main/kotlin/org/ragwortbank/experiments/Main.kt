package org.ragwortbank.experiments

import picocli.CommandLine
import kotlin.system.exitProcess

/** Runs the experiment named by [args] and exits with its status. */
@Suppress("SpreadOperator")
fun main(args: Array<String>): Unit = exitProcess(CommandLine(Experiments()).execute(*args))
