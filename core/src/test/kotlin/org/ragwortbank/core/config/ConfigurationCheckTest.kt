package org.ragwortbank.core.config

import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.AccountKey
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.KeyHash
import org.ragwortbank.core.model.PoolName
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.model.UpstreamKind
import org.ragwortbank.core.model.configuration
import kotlin.test.Test
import kotlin.test.assertEquals

class ConfigurationCheckTest {
    private val validConfiguration = configuration(version = 1) {
        pool("engines", UpstreamKind.ENGINE, "engine-*")
        account("large", rate = 1_000, burst = 100)
        route("advice", "engines", AdapterRef("advice", "3"), "large")
    }

    @Test
    fun `given valid tables, then no problem is found`() {
        assertEquals(emptyList(), checkConfiguration(validConfiguration))
    }

    @Test
    fun `given several problems, then each is reported with its path`() {
        val invalidConfiguration = validConfiguration
            .with(TableChange.RemovePool(PoolName("engines")))
            .copy(accounts = validConfiguration.accounts.clear())
        val paths = checkConfiguration(invalidConfiguration).map { it.path }
        assertEquals(listOf("routes.advice.pool", "routes.advice.accounts"), paths)
    }

    @Test
    fun `given a key of an account that does not exist, then the problem names the key and the account`() {
        val accountKey = AccountKey(KeyHash("aa"), AccountId("nobody"))
        val problem = checkConfiguration(validConfiguration.with(TableChange.IssueKey(accountKey))).single()
        assertEquals("keys.aa: found 'nobody', expected an account of the pools file", problem.toString())
    }

    @Test
    fun `given declared tables, then applying the changes yields them`() {
        val declared = configuration(version = 0) {
            pool("engines", UpstreamKind.ENGINE, "engine-1")
            account("small", rate = 1, burst = 1)
        }
        val changes = changesBetween(validConfiguration, declared)
        val result = changes.fold(validConfiguration) { configuration, change -> configuration.with(change) }
        assertEquals(declared, result.copy(version = 0))
        assertEquals("routes.advice", changes.last().path)
        assertEquals(false, RouteName("advice") in result.routes)
    }
}
