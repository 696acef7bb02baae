package org.ragwortbank.node.log

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.core.config.Configurator
import java.io.FileDescriptor

/** Stream that log lines are written to. */
enum class LogTarget(internal val descriptor: FileDescriptor) {
    STANDARD_ERROR(FileDescriptor.err),
    STANDARD_OUTPUT(FileDescriptor.out),
}

/** Configures Log4j for a process: lines are written in batches, and dropped while too many wait to be written. */
object LogSetup {
    private const val CONTEXT_SELECTOR_PROPERTY = "log4j2.contextSelector"
    private const val SINGLE_CONTEXT_SELECTOR = "org.apache.logging.log4j.core.selector.BasicContextSelector"

    /** Configures Log4j; must be called before the first logger is used. */
    fun configure(level: String, format: LogFormat, target: LogTarget = LogTarget.STANDARD_ERROR) {
        System.setProperty(CONTEXT_SELECTOR_PROPERTY, SINGLE_CONTEXT_SELECTOR)
        Configurator.initialize(ProcessLogging(Level.toLevel(level), format, target))
    }

    /** Writes all pending lines and shuts Log4j down; nothing may be logged afterwards. */
    fun flush() = LogManager.shutdown()
}
