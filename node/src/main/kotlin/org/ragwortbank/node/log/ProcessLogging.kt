package org.ragwortbank.node.log

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.Layout
import org.apache.logging.log4j.core.LifeCycle
import org.apache.logging.log4j.core.config.AbstractConfiguration
import org.apache.logging.log4j.core.config.ConfigurationSource
import org.apache.logging.log4j.core.layout.PatternLayout
import java.io.FileOutputStream

/** Log4j configuration with one appender; built directly because Log4j's builder slows the start down. */
internal class ProcessLogging(
    private val level: Level,
    private val format: LogFormat,
    private val target: LogTarget,
) : AbstractConfiguration(null, ConfigurationSource.NULL_SOURCE) {
    init {
        isShutdownHookEnabled = false
    }

    override fun initialize() {
        doConfigure()
        setState(LifeCycle.State.INITIALIZED)
    }

    override fun doConfigure() {
        val appender = BatchAppender(layout(), FileOutputStream(target.descriptor))
        addAppender(appender)
        rootLogger.addAppender(appender, null, null)
        rootLogger.level = level
    }

    private fun layout(): Layout<String> =
        when (format) {
            LogFormat.JSON -> JsonLineLayout()
            LogFormat.TEXT -> PatternLayout.newBuilder().withPattern("%d{ISO8601} %-5level %c: %m%n").build()
        }
}
