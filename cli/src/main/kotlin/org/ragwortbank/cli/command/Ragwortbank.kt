package org.ragwortbank.cli.command

import picocli.CommandLine.Command

/** The root command; all work is done by sub-commands. */
@Command(
    name = "ragwortbank",
    description = ["Serves large numbers of LoRA adapters from shared pools of model engines."],
    mixinStandardHelpOptions = true,
    version = ["ragwortbank 0.1.0"],
    subcommands = [
        EntryCommand::class,
        SidecarCommandLine::class,
        GatewayCommand::class,
        PlacerCommand::class,
        CheckCommand::class,
        SettingsCommand::class,
        PlanCommand::class,
        ApplyCommand::class,
        RoutesCommand::class,
        PoolsCommand::class,
        KeysCommand::class,
        StatusCommand::class,
        ExplainCommand::class,
    ],
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = [
        "0:done",
        "1:a file or table has mistakes",
        "2:wrong usage",
        "3:changed by somebody else meanwhile",
        "4:the platform did not answer",
        "5:outcome unknown",
        "6:stored but not yet in force everywhere",
    ],
)
class Ragwortbank
