package org.ragwortbank.experiments

import picocli.CommandLine
import picocli.CommandLine.Command
import kotlin.system.exitProcess

/** Experiments in virtual time; never part of the product. */
@Command(
    name = "experiments",
    mixinStandardHelpOptions = true,
    description = ["Runs the product's decisions in virtual time and prints figures."],
    subcommands = [LimitsCommand::class],
)
class Experiments

/** Runs the experiment that the arguments name. */
@Suppress("SpreadOperator")
fun main(args: Array<String>): Unit = exitProcess(CommandLine(Experiments()).execute(*args))
