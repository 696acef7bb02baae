package org.ragwortbank.cli.command

import org.ragwortbank.clients.http.Address
import picocli.CommandLine.ITypeConverter
import picocli.CommandLine.Option
import picocli.CommandLine.TypeConversionException

/** Option of all commands that use the key-value service. */
class KeyValueOptions {
    @Option(
        names = ["--kv"],
        required = true,
        paramLabel = "HOST:PORT",
        converter = [AddressConverter::class],
        description = ["The platform's key-value service; \${ENV:RAGWORTBANK_KV} by default."],
        defaultValue = "\${env:RAGWORTBANK_KV}",
    )
    internal lateinit var address: Address
}

/** Option of all commands that use the instance list. */
class InstancesOptions {
    @Option(
        names = ["--instances"],
        required = true,
        paramLabel = "HOST:PORT",
        converter = [AddressConverter::class],
        description = ["The platform's instance list; \${ENV:RAGWORTBANK_INSTANCES} by default."],
        defaultValue = "\${env:RAGWORTBANK_INSTANCES}",
    )
    internal lateinit var address: Address
}

/** Converts an option value of the form `HOST:PORT`. */
internal class AddressConverter : ITypeConverter<Address> {
    override fun convert(value: String): Address =
        Address.parse(value) ?: throw TypeConversionException("found '$value', expected HOST:PORT")
}
