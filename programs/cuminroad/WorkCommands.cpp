#include <fstream>
#include <sstream>

#include <fmt/format.h>

#include "Command.h"

namespace cuminroad::cli {

namespace {

using TextArg = TCLAP::ValueArg<std::string>;
using NumberArg = TCLAP::ValueArg<std::int64_t>;
using NameArg = TCLAP::UnlabeledValueArg<std::string>;

class SendRequest final : public Command {
public:
  std::string_view name() const override { return "request"; }
  std::string_view summary() const override {
    return "send one service request and print its answer";
  }
  void declare(TCLAP::CmdLine &Line) override {
    Customer_ = std::make_unique<NameArg>("customer", "the customer", true, "",
                                          "CUSTOMER", Line);
    Service_ = std::make_unique<NameArg>("service", "the service", true, "",
                                         "SERVICE", Line);
    Body_ = std::make_unique<TextArg>("", "body", "the request's body", false,
                                      "", "TEXT", Line);
    Idempotent_ = std::make_unique<TCLAP::SwitchArg>(
        "", "idempotent", "the request may run more than once", Line);
    Key_ = std::make_unique<TextArg>("", "key", "idempotency key", false, "",
                                     "KEY", Line);
    Ticket_ = std::make_unique<TextArg>("", "ticket", "ticket, see 'ticket'",
                                        false, "", "TICKET", Line);
    Deadline_ = std::make_unique<NumberArg>("", "deadline-ms", "deadline",
                                            false, 0, "MS", Line);
  }
  int run(Remote &Daemons, bool) override {
    HttpHeaders Headers{
        {"X-Idempotent", Idempotent_->getValue() ? "true" : "false"}};
    if (!Key_->getValue().empty())
      Headers.emplace_back("Idempotency-Key", Key_->getValue());
    if (!Ticket_->getValue().empty())
      Headers.emplace_back("X-Ticket", Ticket_->getValue());
    if (Deadline_->getValue() > 0)
      Headers.emplace_back("X-Deadline-Ms",
                           std::to_string(Deadline_->getValue()));
    const std::string Path =
        fmt::format("/v1/customers/{}/services/{}/requests",
                    Customer_->getValue(), Service_->getValue());
    return report(Daemons.call("POST", Path, Body_->getValue(), Headers));
  }

private:
  std::unique_ptr<NameArg> Customer_;
  std::unique_ptr<NameArg> Service_;
  std::unique_ptr<TextArg> Body_;
  std::unique_ptr<TCLAP::SwitchArg> Idempotent_;
  std::unique_ptr<TextArg> Key_;
  std::unique_ptr<TextArg> Ticket_;
  std::unique_ptr<NumberArg> Deadline_;
};

class IssueTicket final : public Command {
public:
  std::string_view name() const override { return "ticket"; }
  std::string_view summary() const override {
    return "get a ticket for a request that may run only once";
  }
  void declare(TCLAP::CmdLine &) override {}
  int run(Remote &Daemons, bool) override {
    return report(Daemons.call("POST", "/v1/tickets"));
  }
};

class SubmitJob final : public Command {
public:
  std::string_view name() const override { return "job submit"; }
  std::string_view summary() const override { return "submit a job"; }
  void declare(TCLAP::CmdLine &Line) override {
    File_ = std::make_unique<TextArg>("", "file", "the job, in JSON", true, "",
                                      "FILE", Line);
  }
  int run(Remote &Daemons, bool) override {
    std::ifstream File(File_->getValue());
    std::stringstream Text;
    Text << File.rdbuf();
    return report(Daemons.call("POST", "/v1/jobs", Text.str()));
  }

private:
  std::unique_ptr<TextArg> File_;
};

/// Shows or cancels a job: both name it and print the answer.
class OneJob final : public Command {
public:
  explicit OneJob(bool Cancel) : Cancel_(Cancel) {}
  std::string_view name() const override {
    return Cancel_ ? "job cancel" : "job show";
  }
  std::string_view summary() const override {
    return Cancel_ ? "cancel a job" : "show a job, and why it waits";
  }
  void declare(TCLAP::CmdLine &Line) override {
    Id_ = std::make_unique<NameArg>("id", "the job", true, "", "ID", Line);
  }
  int run(Remote &Daemons, bool) override {
    return report(Daemons.call(Cancel_ ? "DELETE" : "GET",
                               "/v1/jobs/" + Id_->getValue()));
  }

private:
  bool Cancel_;
  std::unique_ptr<NameArg> Id_;
};

class DrainVm final : public Command {
public:
  std::string_view name() const override { return "vm drain"; }
  std::string_view summary() const override {
    return "give a VM no new work and move what can be moved";
  }
  void declare(TCLAP::CmdLine &Line) override {
    Vm_ = std::make_unique<NameArg>("vm", "the VM", true, "", "VM", Line);
  }
  int run(Remote &Daemons, bool) override {
    // Each daemon knows the VMs of its own failure domain.
    Result<Reply> Last = failure(ErrorCode::ConnectFailed, "no server given");
    for (const std::string &Server : Daemons.servers()) {
      Last = Daemons.callAt(Server, "POST",
                            "/v1/vms/" + Vm_->getValue() + "/drain");
      if (Last && Last->ok())
        break;
    }
    return report(Last);
  }

private:
  std::unique_ptr<NameArg> Vm_;
};

} // namespace

std::vector<std::unique_ptr<Command>> makeWorkCommands() {
  std::vector<std::unique_ptr<Command>> Out;
  Out.push_back(std::make_unique<SendRequest>());
  Out.push_back(std::make_unique<IssueTicket>());
  Out.push_back(std::make_unique<SubmitJob>());
  Out.push_back(std::make_unique<OneJob>(false));
  Out.push_back(std::make_unique<OneJob>(true));
  Out.push_back(std::make_unique<DrainVm>());
  return Out;
}

} // namespace cuminroad::cli
