package org.ragwortbank.experiments

import picocli.CommandLine
import kotlin.system.exitProcess

/** Runs the experiment that the arguments name. */
@Suppress("SpreadOperator")
fun main(args: Array<String>): Unit = exitProcess(CommandLine(Experiments()).execute(*args))
