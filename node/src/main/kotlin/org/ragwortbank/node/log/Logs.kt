package org.ragwortbank.node.log

import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.Logger
import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.log.LogPart

/** The loggers of a process, one for each [LogPart]. */
internal object Logs {
    private val loggers: Map<LogPart, Logger> = LogPart.entries.associateWith { LogManager.getLogger(it.prefix) }

    /** Logger for connections between processes. */
    val links: Logger = loggerOf(LogPart.LINKS)

    /** Logger for calls to the platform's services. */
    val platform: Logger = loggerOf(LogPart.PLATFORM)

    /** Logger for the HTTP front end. */
    val http: Logger = loggerOf(LogPart.HTTP)

    /** Logger for configuration and settings. */
    val config: Logger = loggerOf(LogPart.CONFIG)

    /** Logger for the start and stop of the process. */
    val drain: Logger = loggerOf(LogPart.DRAIN)

    /** Writes a line that a system has requested. */
    fun write(line: LogLine) = loggerOf(line.part).info(line.message)

    private fun loggerOf(part: LogPart): Logger = loggers.getValue(part)
}
