package org.ragwortbank.experiments

import picocli.CommandLine.Command

/** Command line for simulations in virtual time and cost measurements; not part of the product. */
@Command(
    name = "experiments",
    mixinStandardHelpOptions = true,
    description = ["Runs the product's decisions in virtual time and prints figures."],
    subcommands = [LimitsCommand::class, CostCommand::class],
)
class Experiments
